import {versionOf} from '@deckwheel/routing';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import {stepVersions} from './step-versions.js';
import type {VersionHistory} from './version-history.js';
import {versionsAt} from './versions-at.js';

/** The software versions of all services that this host knows. */
type ServiceVersions = {
	/** Replaces the listed endpoints; returns the services that have several versions since then. */
	readonly list: (endpoints: readonly ListedEndpoint[]) => readonly string[];
	/** Notes that a peer told of a version whose streams may be taken up until then, in monotonic ms; returns whether the service has several versions since then. */
	readonly hear: (service: string, version: string, until: number) => boolean;
	/** Whether streams of several versions of the service may be taken up. */
	readonly isMixed: (service: string) => boolean;
	/** Whether endpoints of the version are listed. */
	readonly isListed: (service: string, version: string) => boolean;
	/** The only version of the service whose streams may be taken up; `undefined` where there is none, or several. */
	readonly onlyOf: (service: string) => string | undefined;
	/** The versions of all services that have several, and of the named ones, and until when at least their streams may be taken up, in monotonic ms. */
	readonly tell: (named: readonly string[]) => ReadonlyArray<{readonly service: string; readonly version: string; readonly until: number}>;
};

const noVersions: VersionHistory = {listed: new Set(), recent: new Map()};

/** Creates a record that knows no service. `now` returns monotonic ms. */
export const createServiceVersions = (now: () => number): ServiceVersions => {
	const histories = new Map<string, VersionHistory>();

	const historyOf = (service: string): VersionHistory => histories.get(service) ?? noVersions;

	const isMixed = (service: string): boolean => versionsAt(historyOf(service), now()).size > 1;

	/** Applies an event to a service; returns whether the service has become mixed by it. */
	const step = (service: string, event: Parameters<typeof stepVersions>[1]): boolean => {
		const wasMixed = isMixed(service);
		histories.set(service, stepVersions(historyOf(service), event, now()));
		return !wasMixed && isMixed(service);
	};

	return {
		list(endpoints) {
			const services = new Set([...histories.keys(), ...endpoints.flatMap(({serves}) => serves)]);
			return [...services].filter(service => {
				const versions = new Set(endpoints.filter(({serves}) => serves.includes(service)).map(endpoint => versionOf(endpoint)));
				return step(service, {type: 'listed', versions});
			});
		},
		hear: (service, version, until) => !historyOf(service).listed.has(version) && step(service, {type: 'heard', version, until}),
		isMixed,
		isListed: (service, version) => historyOf(service).listed.has(version),
		onlyOf(service) {
			const [first, ...others] = versionsAt(historyOf(service), now()).keys();
			return others.length === 0 ? first : undefined;
		},
		tell: named => [...histories.keys()].filter(service => named.includes(service) || isMixed(service)).flatMap(service =>
			[...versionsAt(historyOf(service), now())].map(([version, until]) => ({service, version, until}))),
	};
};
