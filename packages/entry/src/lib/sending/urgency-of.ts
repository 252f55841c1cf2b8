import type {AdmittedRequest} from '../admission/admitted-request.js';

/** The least urgent priority that is told apart, of organisations and of routes. Any beyond it counts as this one. */
const lastPriority = 2;

/** The priority of an organisation that has none of its own: between those that come before others and those that come after them. */
const defaultOrganisationPriority = 1;

const limitPriority = (priority: number): number => Math.min(lastPriority, Math.max(0, Math.trunc(priority)));

/**
Decides how urgent a request is among the requests at its endpoint, 0 being the most urgent. Pure.

The priority of the organisation comes first, then that of the route. Where every organisation has the same priority, short prompts of an urgent
route are thus not kept waiting by long prompts of the others.

@returns A whole number from 0 to 8.
*/
export const urgencyOf = ({organisation, route}: Pick<AdmittedRequest, 'organisation' | 'route'>): number =>
	(limitPriority(organisation?.priority ?? defaultOrganisationPriority) * (lastPriority + 1)) + limitPriority(route.priority);
