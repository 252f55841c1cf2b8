import {versionMemoryMs} from './version-memory-ms.js';
import type {VersionHistory} from './version-history.js';

type VersionEvent =
	/** The platform listed endpoints of the service; these are their versions. */
	| {readonly type: 'listed'; readonly versions: ReadonlySet<string>}
	/** A peer told of this version, whose streams may be taken up until then, in monotonic ms. */
	| {readonly type: 'heard'; readonly version: string; readonly until: number};

/** Returns what is known of a service's versions after one event. Pure. `now` is in monotonic ms. */
export const stepVersions = (history: VersionHistory, event: VersionEvent, now: number): VersionHistory => {
	if (event.type === 'heard') {
		const {version, until} = event;
		return {...history, recent: new Map([...history.recent, [version, Math.max(until, history.recent.get(version) ?? 0)]])};
	}

	const recent = [...history.recent].filter(([, until]) => until > now);
	const removed = [...history.listed].filter(version => !event.versions.has(version)).map((version): [string, number] => [version, now + versionMemoryMs]);
	return {listed: event.versions, recent: new Map([...recent, ...removed])};
};
