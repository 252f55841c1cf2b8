/**
The kind of requests that a route serves.

`repeatable` requests may run more than once, `once` requests at most once. The response to a `stream` request consists of
server-sent events.
*/
export type RouteKind = 'repeatable' | 'once' | 'stream';
