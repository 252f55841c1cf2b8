/**
The share of a link's rate that is planned for requests. The rest carries what no request announces, such as messages between hosts, and keeps
the queue of the link below 50 ms. A request and its response pass the link four times, so a longer queue would take half of the time in which
callers of urgent routes expect a first event.
*/
const plannedShare = 0.85;

/** Bytes per ms in one megabit per second. */
const bytesPerMsOfMbps = 125;

/** Returns how many bytes per ms a link of `linkMbps` megabits per second is planned to carry for requests, in each direction. Pure. */
export const plannedBytesPerMs = (linkMbps: number): number => linkMbps * bytesPerMsOfMbps * plannedShare;
