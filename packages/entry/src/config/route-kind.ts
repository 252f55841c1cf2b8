/**
What a route carries.

`repeatable` requests may run more than once, `once` requests at most once.
A `stream` answers by server-sent events.
*/
export type RouteKind = 'repeatable' | 'once' | 'stream';
