import {Packr} from 'msgpackr';
import type {z} from 'zod';
import {frameSchema} from './frame.js';

type Frame = z.infer<typeof frameSchema>;

// Records would tie a message to the ones before it on the same socket; plain maps stand alone.
const packr = new Packr({useRecords: false, encodeUndefinedAsNil: false, skipValues: [undefined]} as ConstructorParameters<typeof Packr>[0]);

const unpack = (data: Uint8Array): unknown => {
	try {
		return packr.unpack(data);
	} catch {
		return undefined;
	}
};

/** Turns frames into bytes and back. Bytes that are no frame decode to `undefined`. */
export const codec = {
	encode: (frame: Frame): Uint8Array => packr.pack(frame),
	decode(data: Uint8Array): Frame | undefined {
		const parsed = frameSchema.safeParse(unpack(data));
		return parsed.success ? parsed.data : undefined;
	},
};
