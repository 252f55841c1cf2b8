const bytesPerMb = 1_000_000;

/** The memory of a host's machine where none is stated, in MB: that of a small one. */
const defaultMemoryMb = 160;

/** The part of the machine's memory that bodies of callers' requests may take, half of it small ones and half large ones. */
const memoryShare = 0.2;

/** Plans how many bytes of small bodies, and as many of large ones, a host may hold at once. Pure. `memoryMb`: the memory of its machine, in MB; 0 where it is not stated. */
export const planMaxBodyBytes = (memoryMb: number): number => Math.floor((memoryMb || defaultMemoryMb) * bytesPerMb * memoryShare / 2);
