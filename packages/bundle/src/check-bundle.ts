import {
	fail, succeed, type Result, type ValidationIssue, findValidationIssues,
} from '@deckwheel/core';
import {bundleSchema} from './bundle-schema.js';
import type {Bundle} from './bundle.js';

const findDuplicateIds = (name: string, ids: readonly string[]): readonly ValidationIssue[] =>
	ids
		.map((id, index) => ({id, index}))
		.filter(({id, index}) => ids.indexOf(id) !== index)
		.map(({id, index}) => ({path: `${name}.${index}.id`, message: `"${id}" is listed twice`}));

const findDanglingReferences = (bundle: Bundle): readonly ValidationIssue[] => {
	const hallIds = new Set(bundle.halls.map(({id}) => id));
	const servedIds = new Set([...bundle.models, ...bundle.services].map(({id}) => id));
	return bundle.endpoints.flatMap((endpoint, index) => [
		...(hallIds.has(endpoint.hall) ? [] : [{path: `endpoints.${index}.hall`, message: `there is no hall "${endpoint.hall}"`}]),
		...endpoint.serves
			.filter(id => !servedIds.has(id))
			.map(id => ({path: `endpoints.${index}.serves`, message: `there is no model or service "${id}"`})),
	]);
};

const findDuplicateApiKeys = (bundle: Bundle): readonly ValidationIssue[] => {
	const hashes = bundle.organisations.flatMap(({apiKeys}) => apiKeys.map(({sha256}) => sha256));
	return hashes.length === new Set(hashes).size ? [] : [{path: 'organisations', message: 'two API keys have the same hash'}];
};

/**
Checks the shape of a bundle, that its ids and API keys are unique, and that its references exist.

If the shape is wrong, the result lists only the issues of the shape; otherwise it lists all others.
*/
export const checkBundle = (document: unknown): Result<Bundle, readonly ValidationIssue[]> => {
	const parsed = bundleSchema.safeParse(document);
	if (!parsed.success) {
		return fail(findValidationIssues(parsed.error));
	}

	const bundle = parsed.data;
	const issues = [
		...findDuplicateIds('halls', bundle.halls.map(({id}) => id)),
		...findDuplicateIds('organisations', bundle.organisations.map(({id}) => id)),
		...findDuplicateIds('endpoints', bundle.endpoints.map(({id}) => id)),
		...findDuplicateIds('models', bundle.models.map(({id}) => id)),
		...findDuplicateIds('services', bundle.services.map(({id}) => id)),
		...findDanglingReferences(bundle),
		...findDuplicateApiKeys(bundle),
	];
	return issues.length > 0 ? fail(issues) : succeed(bundle);
};
