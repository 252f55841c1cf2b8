import {isNestedWithin} from '@deckwheel/core';
import {Packr} from 'msgpackr';
import type {z} from 'zod';
import {frameSchema} from './frame.js';

type Frame = z.infer<typeof frameSchema>;

/**
How many lists and objects may lie within each other in a body. Packing, unpacking and the schemas of bodies descend by recursion. How a spec
of `maxSpecDepth` levels (`to-bounded-spec.ts`) differs from another takes about twice as many.
*/
const maxBodyDepth = 192;

// With records, a frame could be decoded only together with earlier frames of the same socket; a plain map is decoded on its own.
const packr = new Packr({useRecords: false, encodeUndefinedAsNil: false, skipValues: [undefined]} as ConstructorParameters<typeof Packr>[0]);

const unpack = (data: Uint8Array): unknown => {
	try {
		return packr.unpack(data);
	} catch {
		return undefined;
	}
};

/** Returns a frame without its body where that is nested too deep: no handler accepts a missing body, and the link stays. */
const toBounded = (frame: Frame): Frame => 'body' in frame && !isNestedWithin(frame.body, maxBodyDepth) ? {...frame, body: undefined} : frame;

/** Encodes frames as MessagePack and decodes them. Bytes that are not a valid frame decode to `undefined`. A body that is nested too deep is left out. */
export const codec = {
	encode: (frame: Frame): Uint8Array => packr.pack(toBounded(frame)),
	decode(data: Uint8Array): Frame | undefined {
		const parsed = frameSchema.safeParse(unpack(data));
		return parsed.success ? toBounded(parsed.data) : undefined;
	},
};
