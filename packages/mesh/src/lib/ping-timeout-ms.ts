/**
The time to wait for the response to a ping before a second link is dialled, in ms: many times the round trip within a region. A peer
that responds later keeps its link, and costs one dial that is dropped again.
*/
export const pingTimeoutMs = 50;
