import type {ExecutionContext} from 'ava';
import {headerNames} from './header-names.js';
import type {MemoryOriginStore} from './memory-origin-store.js';
import {openStream, type CallerEvent} from './open-stream.js';
import {startVersionedFleet, troubleHeader} from './start-versioned-fleet.js';

const halls = ['hall-a', 'hall-b', 'hall-c', 'hall-a', 'hall-b', 'hall-c', 'hall-a'];

const versions = ['v1', 'v1', 'v1', 'v2', 'v2', 'v2'];

const streamCount = 28;

type Ends = {
	/** The first event of each stream. */
	readonly begun: ReadonlyArray<CallerEvent | undefined>;
	/** The streams that went on at another version than that of their first event. */
	readonly crossed: readonly string[];
};

/**
Begins streams while a second version joins and the store of origins is in trouble, and takes them up at other hosts after all hosts have died
and started again.

@param spoil Begins the trouble; returns the function that ends it.
*/
export const takeUpAfterDeaths = async (t: ExecutionContext, spoil: (store: MemoryOriginStore) => () => void): Promise<Ends> => {
	const fleet = await startVersionedFleet(t, {halls, versions, listedAtFirst: 3});
	const listed = fleet.endpoints.map(endpoint => endpoint.listed);
	await Promise.all(fleet.hosts.map(async ({callers}, index) => openStream(callers, `early${index}`).ended));
	const mend = spoil(fleet.originStore);
	for (const {entry} of fleet.hosts) {
		entry.listEndpoints(listed);
	}

	const begun = await Promise.all(Array.from({length: streamCount}, async (_, index) =>
		openStream(fleet.hosts[index % halls.length]!.callers, `s${index}`, {[troubleHeader]: 'hold'}).first));
	await Promise.all(fleet.hosts.map(async ({entry}) => entry.kill()));
	mend();
	const hosts = await fleet.startAgain(listed);
	const ends = await Promise.all(begun.map(async (first, index) => first && openStream(hosts[(index + 1) % halls.length]!.callers, `t${index}`, {
		[headerNames.resumes]: `s${index}`, [headerNames.lastEventId]: '1',
	}).ended));
	const crossed = begun.flatMap((first, index) => ends[index]?.events.some(({data}) => data !== first!.data) ? [`s${index} began at ${first!.data}`] : []);
	return {begun, crossed};
};
