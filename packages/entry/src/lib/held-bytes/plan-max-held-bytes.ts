import {machineBytes} from './machine-bytes.js';

/** The part of the machine's memory that messages may take: most of the rest is what a host needs at rest, and what its runtime has not collected yet. */
const memoryShare = 0.1;

/** The most bytes at all: beyond that, holding more buys nothing, since what has no room is passed on as it comes. */
const maxBytesOfAny = 32_000_000;

/** Plans how many bytes of messages a host may hold at once. Pure. `memoryMb`: the memory of its machine, in MB; 0 where it is not stated. */
export const planMaxHeldBytes = (memoryMb: number): number => Math.min(maxBytesOfAny, Math.floor(machineBytes(memoryMb) * memoryShare));
