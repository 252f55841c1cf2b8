const decimalNumber = /^\d+(\.\d+)?$/;

/** Reads a limit in requests a second; `undefined` where there is none, or it is no decimal number. Pure. */
export const readRequestLimit = (text: string | readonly string[] | undefined): number | undefined =>
	typeof text === 'string' && decimalNumber.test(text) ? Number(text) : undefined;
