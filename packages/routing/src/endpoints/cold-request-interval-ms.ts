/**
The least time from one request of a host to the next at the same cold endpoint, in ms: a second, and what a new connection may
take, so that two of them never arrive within one second.
*/
export const coldRequestIntervalMs = 1300;
