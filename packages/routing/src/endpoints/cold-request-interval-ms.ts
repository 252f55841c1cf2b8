/**
The minimum interval between two requests that one host sends to the same cold endpoint, in ms. It is one second plus the time
that a new connection may take, so that two requests of one host never arrive within the same second.
*/
export const coldRequestIntervalMs = 1300;
