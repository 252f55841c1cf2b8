/**
Why a request to a peer got no reply.

- `unreachable`: the peer certainly did not receive the request.
- `unknown`: the peer may have received the request.
*/
export type LinkError = 'unreachable' | 'unknown';
