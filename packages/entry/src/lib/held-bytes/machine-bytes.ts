/** The memory of a host's machine where none is stated, in MB: that of a small one. */
const defaultMemoryMb = 160;

/** Bytes of a MB, as machines are sized in. */
const bytesPerMb = 1_000_000;

/** Returns the memory of a host's machine in bytes. Pure. `memoryMb`: what the settings state, in MB; 0 where they do not. */
export const machineBytes = (memoryMb: number): number => (memoryMb || defaultMemoryMb) * bytesPerMb;
