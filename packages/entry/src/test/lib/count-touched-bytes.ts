import {Buffer} from 'node:buffer';

type Method = (this: Uint8Array, ...parameters: unknown[]) => unknown;

/** The functions that read all bytes of a buffer, or all from an offset on. */
const readers = ['indexOf', 'lastIndexOf', 'toString'] as const;

/** Counts the bytes that buffers copy, search or decode while a function runs. Not to be run beside other tests of the same file. */
export const countTouchedBytes = (run: () => void): number => {
	const prototype = Buffer.prototype as unknown as Record<string, Method>;
	const {concat} = Buffer;
	const setBytes = Object.getPrototypeOf(Uint8Array.prototype) as {set: (bytes: ArrayLike<number>, offset?: number) => void};
	const {set} = setBytes;
	const methods = readers.map(name => [name, prototype[name]!] as const);
	const count = {touched: 0};
	Buffer.concat = (list, ...rest) => {
		const whole = concat(list, ...rest);
		count.touched += whole.length;
		return whole;
	};

	setBytes.set = function (this: Uint8Array, bytes: ArrayLike<number>, offset?: number) {
		count.touched += bytes.length;
		set.call(this, bytes, offset);
	};

	for (const [name, method] of methods) {
		prototype[name] = function (...parameters) {
			count.touched += this.length;
			return method.apply(this, parameters);
		};
	}

	try {
		run();
	} finally {
		Buffer.concat = concat;
		setBytes.set = set;
		for (const [name, method] of methods) {
			prototype[name] = method;
		}
	}

	return count.touched;
};
