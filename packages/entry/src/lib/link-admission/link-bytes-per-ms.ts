/** Bytes per ms in one megabit per second. */
const bytesPerMsOfMbps = 125;

/** Returns how many bytes per ms a link of `linkMbps` megabits per second carries in each direction. Pure. */
export const linkBytesPerMs = (linkMbps: number): number => linkMbps * bytesPerMsOfMbps;
