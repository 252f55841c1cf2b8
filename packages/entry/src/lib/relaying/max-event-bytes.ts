/**
The size from which on an event of a stream is not relayed any more, in bytes with the empty line that ends it. An event is held until its end has come.
Events hold some tokens, or the output of a tool; what is larger than the largest body of a caller comes from an endpoint that does not end its events.
*/
export const maxEventBytes = 16 * 1024 * 1024;
