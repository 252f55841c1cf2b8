/**
How long the answer to a ping is waited for before a second link is dialled, in ms: many times the way within a region. A peer
that answers later costs one dial that is dropped again, and keeps its link.
*/
export const pingWaitMs = 50;
