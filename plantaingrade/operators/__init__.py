"""Query and command language of operators, and declarations of services."""
