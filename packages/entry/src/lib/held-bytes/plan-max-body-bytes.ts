import {machineBytes} from './machine-bytes.js';

/** The part of the machine's memory that bodies of callers' requests may take, half of it small ones and half large ones. */
const memoryShare = 0.2;

/** Plans how many bytes of small bodies, and as many of large ones, a host may hold at once. Pure. `memoryMb`: the memory of its machine, in MB; 0 where it is not stated. */
export const planMaxBodyBytes = (memoryMb: number): number => Math.floor(machineBytes(memoryMb) * memoryShare / 2);
