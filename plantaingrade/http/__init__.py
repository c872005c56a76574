"""HTTP/1.1 connections on top of h11 and asyncio."""
