/**
The share of a link's rate that is planned for requests of all ranks. The rest carries what no request announces, such as messages between hosts, and
keeps the queue of the link below 50 ms. A request and its response pass the link four times, so a longer queue would take half of the time in
which callers of urgent routes expect a first event.
*/
export const plannedShare = 0.85;
