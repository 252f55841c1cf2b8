import {
	fail, succeed, type Result, type ValidationIssue, findValidationIssues,
} from '@deckwheel/core';
import {bundleSchema} from './bundle-schema.js';
import type {Bundle} from './bundle.js';

const duplicates = (name: string, ids: readonly string[]): readonly ValidationIssue[] =>
	ids
		.map((id, index) => ({id, index}))
		.filter(({id, index}) => ids.indexOf(id) !== index)
		.map(({id, index}) => ({path: `${name}.${index}.id`, message: `"${id}" is listed twice`}));

const danglingEndpoints = (bundle: Bundle): readonly ValidationIssue[] => {
	const halls = new Set(bundle.halls.map(({id}) => id));
	const served = new Set([...bundle.models, ...bundle.services].map(({id}) => id));
	return bundle.endpoints.flatMap((endpoint, index) => [
		...(halls.has(endpoint.hall) ? [] : [{path: `endpoints.${index}.hall`, message: `there is no hall "${endpoint.hall}"`}]),
		...endpoint.serves
			.filter(id => !served.has(id))
			.map(id => ({path: `endpoints.${index}.serves`, message: `there is no model or service "${id}"`})),
	]);
};

const repeatedKeys = (bundle: Bundle): readonly ValidationIssue[] => {
	const hashes = bundle.organisations.flatMap(({apiKeys}) => apiKeys.map(({sha256}) => sha256));
	return hashes.length === new Set(hashes).size ? [] : [{path: 'organisations', message: 'two API keys have the same hash'}];
};

/** Checks a bundle's shape and its references. Reports every fault at once. */
export const checkBundle = (document: unknown): Result<Bundle, readonly ValidationIssue[]> => {
	const parsed = bundleSchema.safeParse(document);
	if (!parsed.success) {
		return fail(findValidationIssues(parsed.error));
	}

	const bundle = parsed.data;
	const faults = [
		...duplicates('halls', bundle.halls.map(({id}) => id)),
		...duplicates('organisations', bundle.organisations.map(({id}) => id)),
		...duplicates('endpoints', bundle.endpoints.map(({id}) => id)),
		...duplicates('models', bundle.models.map(({id}) => id)),
		...duplicates('services', bundle.services.map(({id}) => id)),
		...danglingEndpoints(bundle),
		...repeatedKeys(bundle),
	];
	return faults.length > 0 ? fail(faults) : succeed(bundle);
};
