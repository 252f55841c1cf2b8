import {digestName} from '@deckwheel/core';

/**
Returns the key under which hosts keep the origin of a stream. Pure.

The organisation is part of it, so a caller that names the id of another organisation's stream finds and replaces nothing.

@param id The id of the request that brought the stream's first event.
*/
export const streamKeyOf = (organisation: string | undefined, id: string): string =>
	digestName(JSON.stringify([organisation ?? '', id]));
