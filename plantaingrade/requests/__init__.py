"""Caller requests, from the instance that receives them to their response."""
