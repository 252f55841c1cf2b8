import {versionMemoryMs} from './version-memory-ms.js';
import type {VersionHistory} from './version-history.js';

/** Returns the versions of a service whose streams may still be taken up at `now`, and until when at least. Pure. All times are in monotonic ms. */
export const versionsAt = ({listed, recent}: VersionHistory, now: number): ReadonlyMap<string, number> =>
	new Map([...[...recent].filter(([, until]) => until > now), ...[...listed].map((version): [string, number] => [version, now + versionMemoryMs])]);
