import type {IncomingHttpHeaders} from 'node:http';
import {fail, succeed, type Outcome} from '@deckwheel/core';
import type {FleetConfig} from '../../config/fleet-config.js';
import type {HeaderNames} from '../../adapter/header-names.js';
import type {Organisation} from '../../config/organisation.js';
import type {Route} from '../../config/route.js';
import type {AdmittedRequest} from './admitted-request.js';
import type {HostRefusal} from './host-refusal.js';
import {findRoute} from './find-route.js';
import {readPrompt} from './read-prompt.js';
import {hostRefusals} from './host-refusals.js';

const textOf = (header: string | readonly string[] | undefined): string | undefined =>
	typeof header === 'string' ? header : header?.[0];

const findOrganisation = (config: FleetConfig, route: Route, key: string | undefined): Organisation | 'unknown' | undefined => {
	if (!config.hasOrganisations) {
		return undefined;
	}

	const known = key === undefined ? undefined : config.organisationsByKey.get(key);
	return known ?? (route.isPublic ? undefined : 'unknown');
};

/** Decides whether the configuration in force allows a request. */
export const admitRequest = (config: FleetConfig | undefined, url: string, headers: IncomingHttpHeaders, names: HeaderNames): Outcome<AdmittedRequest, HostRefusal> => {
	if (!config) {
		return fail(hostRefusals.notReady);
	}

	const route = findRoute(config, headers.host ?? '', url);
	if (!route) {
		return fail(hostRefusals.noRoute);
	}

	const organisation = findOrganisation(config, route, textOf(headers[names.apiKey]));
	if (organisation === 'unknown') {
		return fail(hostRefusals.unauthorized);
	}

	const tokenCount = textOf(headers[names.tokenCount]);
	const prompt = tokenCount === undefined ? undefined : readPrompt(tokenCount, textOf(headers[names.prefix]));
	if (tokenCount !== undefined && prompt === undefined) {
		return fail(hostRefusals.badTokenCount);
	}

	const patienceMs = Number(textOf(headers[names.deadline]) ?? route.timeoutMs);
	return succeed({
		route, organisation, prompt, timeLeftMs: Math.min(route.timeoutMs, Number.isFinite(patienceMs) ? patienceMs : route.timeoutMs),
	});
};
