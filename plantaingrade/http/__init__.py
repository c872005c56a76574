"""HTTP/1.1 connections on top of httptools and asyncio."""
