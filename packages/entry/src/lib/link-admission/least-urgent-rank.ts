/** The last rank that is told apart. Requests of later ranks count as of this one, so that the guaranteed shares stay large enough for a request. */
export const leastUrgentRank = 3;
