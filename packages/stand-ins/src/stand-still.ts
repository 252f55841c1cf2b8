/** Holds this thread, and with it each host in it, still for `ms`: nothing is read or written meanwhile. */
export const standStill = (ms: number): void => {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, ms);
};
