/**
The size from which on an event of a stream is not relayed any more, in bytes with the empty line that ends it. An event is held until its end has come,
and takes up to twice its size meanwhile. Events hold some tokens, or the output of a tool; what is larger comes from an endpoint that does not end its events.
*/
export const maxEventBytes = 4 * 1024 * 1024;
