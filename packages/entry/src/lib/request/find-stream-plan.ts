import {hash32} from '@deckwheel/core';
import type {AdmittedRequest} from '../admission/admitted-request.js';
import {pickService} from '../choice/pick-service.js';
import {streamKeyOf} from '../stream-origins/stream-key-of.js';
import {attemptsBeforeTakeUp} from './attempts-before-take-up.js';
import type {HostContext} from './host-context.js';
import type {StreamPlan} from './stream-plan.js';

const findResumed = async (key: string, service: string, {route, isContinued = false}: AdmittedRequest, {streamOrigins}: Pick<HostContext, 'streamOrigins'>): Promise<StreamPlan> => {
	const services = route.services.map(weighted => weighted.service);
	const found = await streamOrigins.findOrigin(key, {services, likely: service, hasEvents: isContinued});
	const isBegun = found.type === 'known' && (isContinued || found.by !== 'base');
	if (isBegun && services.includes(found.origin.service)) {
		return {
			type: 'resumed', key, origin: found.origin, found,
		};
	}

	// A caller that names no event has got none, so the stream begins anew.
	if (!isContinued) {
		return {
			type: 'any', service, key, found,
		};
	}

	// Another version may be listed before an endpoint is chosen.
	if (found.type === 'single' && found.version !== undefined) {
		return {
			type: 'resumed', key, origin: {service, version: found.version, attempt: attemptsBeforeTakeUp}, found,
		};
	}

	return {type: found.type === 'unknown' ? 'unknown' : 'unreadable', service, found};
};

/** Turns the key of a stream into a number from 0 up to but not including 1, the same on every host. */
const fractionOf = (key: string): number => hash32(key) / (2 ** 32);

/** Finds which endpoints a request may be sent to, by where the stream began that its caller takes up. Asks other hosts where this one does not know. */
export const findStreamPlan = async (id: string, admitted: AdmittedRequest, host: Pick<HostContext, 'streamOrigins' | 'random'>): Promise<StreamPlan> => {
	const {route, organisation, resumes} = admitted;
	if (route.kind !== 'stream' || !route.isResumable) {
		return {type: 'any', service: pickService(route, host.random()) ?? ''};
	}

	const key = streamKeyOf(organisation?.name, resumes ?? id);
	// Picked by the key, so that a stream that is taken up elsewhere goes on at the service that began it.
	const service = pickService(route, fractionOf(key)) ?? '';
	return resumes === undefined ? {type: 'any', service, key} : findResumed(key, service, admitted, host);
};
