import type {IncomingHttpHeaders} from 'node:http';
import {
	fail, hasNoChunks, succeed, type Result,
} from '@deckwheel/core';
import type {HeaderNames} from '../../adapter/header-names.js';
import type {FleetConfig} from '../../config/fleet-config.js';
import type {Organisation} from '../../config/organisation.js';
import type {Route} from '../../config/route.js';
import {hasValidNames} from '../sending/has-valid-names.js';
import {isRequestTarget} from '../sending/is-request-target.js';
import type {AdmittedRequest} from './admitted-request.js';
import type {ConfigProof} from './config-proof.js';
import {findRoute} from './find-route.js';
import type {HostRefusal} from './host-refusal.js';
import {hostRefusals} from './host-refusals.js';
import {readPrompt} from './read-prompt.js';
import {refuseByConfig} from './refuse-by-config.js';

/** The parts of a request's head that decide whether the request is admitted. */
type RequestHead = {
	readonly url: string;
	readonly headers: IncomingHttpHeaders;
	/** The version of HTTP of the request, such as `1.1`; by default that one. */
	readonly httpVersion?: string;
	/** When the request began to wait at this host, in monotonic ms. */
	readonly receivedAt: number;
};

const firstValueOf = (header: string | readonly string[] | undefined): string | undefined =>
	typeof header === 'string' ? header : header?.[0];

const findOrganisation = (config: FleetConfig, route: Route, key: string | undefined): Organisation | 'unknown' | undefined => {
	if (!config.hasOrganisations) {
		return undefined;
	}

	const organisation = key === undefined ? undefined : config.organisationsByKey.get(key);
	return organisation ?? (route.isPublic ? undefined : 'unknown');
};

// A caller whose deadline header is missing or no number is taken to wait for the whole timeout of the route.
const findDeadline = (route: Route, deadlineHeader: string | undefined, receivedAt: number): number => {
	const callerTimeoutMs = Number(deadlineHeader ?? route.timeoutMs);
	return receivedAt + Math.min(route.timeoutMs, Number.isFinite(callerTimeoutMs) ? callerTimeoutMs : route.timeoutMs);
};

/**
Decides whether the configuration in force admits a request. Pure.

Refused are: any request while the host has no configuration (503), a request that no route serves (404), a request without a known
API key on a route that needs one (401), a request whose head cannot be sent on (400), a request for a stream in HTTP/1.0 (505), and a request whose
token count is not two whole numbers (400). Where the configuration may be outdated, 404, 401 and 505 are replaced (`refuseByConfig`).

@param config The configuration in force; `undefined` while the host has none.
*/
export const admitRequest = (config: FleetConfig | undefined, proof: ConfigProof, {url, headers, httpVersion, receivedAt}: RequestHead, headerNames: HeaderNames): Result<AdmittedRequest, HostRefusal> => {
	if (!config) {
		return fail(hostRefusals.notReady);
	}

	const route = findRoute(config, headers.host ?? '', url);
	if (!route) {
		return fail(refuseByConfig(hostRefusals.noRoute, proof));
	}

	const organisation = findOrganisation(config, route, firstValueOf(headers[headerNames.apiKey]));
	if (organisation === 'unknown') {
		return fail(refuseByConfig(hostRefusals.unauthorized, proof));
	}

	if (!isRequestTarget(url) || !hasValidNames(headers)) {
		return fail(hostRefusals.badHead);
	}

	if (route.kind === 'stream' && hasNoChunks(httpVersion)) {
		return fail(refuseByConfig(hostRefusals.unframedStream, proof));
	}

	const tokenCount = firstValueOf(headers[headerNames.tokenCount]);
	const prompt = tokenCount === undefined ? undefined : readPrompt(tokenCount, firstValueOf(headers[headerNames.prefix]));
	if (tokenCount !== undefined && prompt === undefined) {
		return fail(hostRefusals.badTokenCount);
	}

	const deadline = findDeadline(route, firstValueOf(headers[headerNames.deadline]), receivedAt);
	const resumes = firstValueOf(headers[headerNames.resumes]);
	return succeed({
		route, organisation, prompt, deadline, resumes, isContinued: resumes !== undefined && headers[headerNames.lastEventId] !== undefined,
	});
};
