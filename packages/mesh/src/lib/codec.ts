import {Packr} from 'msgpackr';
import type {z} from 'zod';
import {frameSchema} from './frame.js';

type Frame = z.infer<typeof frameSchema>;

// With records, a frame could be decoded only together with earlier frames of the same socket; a plain map is decoded on its own.
const packr = new Packr({useRecords: false, encodeUndefinedAsNil: false, skipValues: [undefined]} as ConstructorParameters<typeof Packr>[0]);

const unpack = (data: Uint8Array): unknown => {
	try {
		return packr.unpack(data);
	} catch {
		return undefined;
	}
};

/** Encodes frames as MessagePack and decodes them. Bytes that are not a valid frame decode to `undefined`. */
export const codec = {
	encode: (frame: Frame): Uint8Array => packr.pack(frame),
	decode(data: Uint8Array): Frame | undefined {
		const parsed = frameSchema.safeParse(unpack(data));
		return parsed.success ? parsed.data : undefined;
	},
};
