import {isHeaderValue} from '../lib/sending/is-header-value.js';
import {toHeaderValue} from '../lib/sending/to-header-value.js';

/** White space at an end of a header's value, which receivers drop: they would read another name. */
const outerSpace = /^[\t ]|[\t ]$/;

/**
Whether the name of an organisation or of an endpoint can be sent to endpoints in a header, as its UTF-8 bytes. Control characters, lone surrogates and white
space at the ends cannot. Adapters leave out what has a name that cannot be sent. Pure.
*/
export const isSendableName = (name: string): boolean =>
	name.isWellFormed() && isHeaderValue(toHeaderValue(name)) && !outerSpace.test(name);
