"""Router for backend servers that own keys exclusively."""
