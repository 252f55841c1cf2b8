/**
Hosts of the hall that get a heartbeat each time, in turn, besides the partners in pairs: so the cost does not grow with the
hall. Chosen without a measurement of its own.
*/
export const hostsBeatenInTurn = 8;
