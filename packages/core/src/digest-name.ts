import {createHash} from 'node:crypto';

/** Length in base64url characters of 6 bits each: 132 bits, so that two contents never get the same name. */
const nameLength = 22;

/** Returns a short name for some content, the same on every host. Pure. Where the parts join makes no difference. */
export const digestName = (...content: ReadonlyArray<string | Uint8Array>): string => {
	const hash = createHash('sha256');
	for (const part of content) {
		hash.update(part);
	}

	return hash.digest('base64url').slice(0, nameLength);
};
