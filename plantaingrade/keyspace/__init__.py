"""Key maps: key ranges, their owners and fences, and changes of them."""
