import type {AdmittedRequest} from '../admission/admitted-request.js';

/** What a request may cost, in tokens. */
type RequestCost = {
	/** The budget that pays: the name of the organisation. `undefined` where the organisation has no limit or the request no token count. */
	readonly budget: string | undefined;
	/** The most that the first run can cost: the prompt, and the longest output that the request allows. */
	readonly worstCase: number;
	/** The most that each further run can add. It leaves the prompt out, because endpoints charge a prompt once. */
	readonly retryCost: number;
};

/** Decides how many tokens of which budget are reserved for the runs of a request. Pure. */
export const costOfRequest = ({organisation, prompt}: Pick<AdmittedRequest, 'organisation' | 'prompt'>): RequestCost => ({
	budget: organisation?.limit === undefined || prompt === undefined ? undefined : organisation.name,
	worstCase: prompt ? prompt.inputTokens + prompt.maxOutputTokens : 0,
	retryCost: prompt?.maxOutputTokens ?? 0,
});
