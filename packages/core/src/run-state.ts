/**
Whether a request ran at an endpoint.

`not_run` is reported only if no byte of the request can have reached an endpoint.
*/
export type RunState = 'not_run' | 'ran' | 'unknown';
