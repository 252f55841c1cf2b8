import type {Platform} from '@deckwheel/store-client';

type List = (Awaited<ReturnType<Platform['hosts']>> & {readonly ok: true})['value'];

/** Returns the names of the hosts that the platform's list shows as live; `undefined` where the list lacks the host that reads it, and so may lack others. Pure. */
export const liveHostsOfList = (list: List, reader: string): ReadonlySet<string> | undefined =>
	list.some(({host}) => host === reader) ? new Set(list.filter(({state}) => state === 'live').map(({host}) => host)) : undefined;
