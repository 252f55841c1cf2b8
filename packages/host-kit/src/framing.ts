/**
What tells where a response of HTTP ends. `stated`: it has a length, is sent in chunks, or can have no body. `connection`: only the end of its
connection does, which an endpoint that dies brings about as well.
*/
export type Framing = 'stated' | 'connection';
