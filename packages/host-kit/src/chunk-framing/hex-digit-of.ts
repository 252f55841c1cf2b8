import {ascii} from './ascii.js';

const {
	zero, nine, lowerA, lowerF,
} = ascii;

/** The bit that a lower-case letter has and an upper-case one has not. */
const caseBit = 0x20;

/** The value of a byte as a hexadecimal digit; -1 where it is none. Pure. */
export const hexDigitOf = (byte: number): number => {
	if (byte >= zero && byte <= nine) {
		return byte - zero;
	}

	// eslint-disable-next-line no-bitwise
	const lower = byte | caseBit;
	return lower >= lowerA && lower <= lowerF ? lower - lowerA + 10 : -1;
};
