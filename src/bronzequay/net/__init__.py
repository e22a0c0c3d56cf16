"""HTTP/1.1 client and server over trio sockets, with the parsers of httptools."""
