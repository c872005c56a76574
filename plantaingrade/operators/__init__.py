"""Query and command language, and declarations."""
