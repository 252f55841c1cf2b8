import type {IncomingHttpHeaders} from 'node:http';
import {fail, succeed, type Result} from '@deckwheel/core';
import type {HeaderNames} from '../../adapter/header-names.js';
import type {FleetConfig} from '../../config/fleet-config.js';
import type {Organisation} from '../../config/organisation.js';
import type {Route} from '../../config/route.js';
import type {AdmittedRequest} from './admitted-request.js';
import {findRoute} from './find-route.js';
import type {HostRefusal} from './host-refusal.js';
import {hostRefusals} from './host-refusals.js';
import {readPrompt} from './read-prompt.js';

/** What of a request's head decides whether it is allowed. */
type Head = {
	readonly url: string;
	readonly headers: IncomingHttpHeaders;
	/** Monotonic ms. */
	readonly receivedAt: number;
};

const textOf = (header: string | readonly string[] | undefined): string | undefined =>
	typeof header === 'string' ? header : header?.[0];

const findOrganisation = (config: FleetConfig, route: Route, key: string | undefined): Organisation | 'unknown' | undefined => {
	if (!config.hasOrganisations) {
		return undefined;
	}

	const known = key === undefined ? undefined : config.organisationsByKey.get(key);
	return known ?? (route.isPublic ? undefined : 'unknown');
};

// A caller that does not say how long it waits, or says no number, waits as long as the route allows.
const findDeadline = (route: Route, waitMs: string | undefined, receivedAt: number): number => {
	const callerMs = Number(waitMs ?? route.timeoutMs);
	return receivedAt + Math.min(route.timeoutMs, Number.isFinite(callerMs) ? callerMs : route.timeoutMs);
};

/**
Decides whether the configuration in force allows a request. Pure.

Refused are: any request before there is a configuration (503), one without a route (404), one without a known key on a
route that needs one (401), and a prompt whose size is no two whole numbers (400).
*/
export const admitRequest = (config: FleetConfig | undefined, {url, headers, receivedAt}: Head, headerNames: HeaderNames): Result<AdmittedRequest, HostRefusal> => {
	if (!config) {
		return fail(hostRefusals.notReady);
	}

	const route = findRoute(config, headers.host ?? '', url);
	if (!route) {
		return fail(hostRefusals.noRoute);
	}

	const organisation = findOrganisation(config, route, textOf(headers[headerNames.apiKey]));
	if (organisation === 'unknown') {
		return fail(hostRefusals.unauthorized);
	}

	const tokenCount = textOf(headers[headerNames.tokenCount]);
	const prompt = tokenCount === undefined ? undefined : readPrompt(tokenCount, textOf(headers[headerNames.prefix]));
	if (tokenCount !== undefined && prompt === undefined) {
		return fail(hostRefusals.badTokenCount);
	}

	const deadline = findDeadline(route, textOf(headers[headerNames.deadline]), receivedAt);
	return succeed({
		route, organisation, prompt, deadline,
	});
};
