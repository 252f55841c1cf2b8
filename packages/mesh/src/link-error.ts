/**
Why a request to a peer got no reply.

- `unreachable`: the peer surely did not get it.
- `unknown`: it may have got it.
*/
export type LinkError = 'unreachable' | 'unknown';
