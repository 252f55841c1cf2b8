import type {AdmittedRequest} from '../admission/admitted-request.js';

/** What a request may cost, in tokens. */
type RequestCost = {
	/** The budget that pays; `undefined` where nothing is counted. */
	readonly budget: string | undefined;
	/** The most that its first run costs: its prompt, and the longest answer that it allows. */
	readonly worstCase: number;
	/** The most that each further run adds: endpoints charge a prompt once. */
	readonly repeatCost: number;
};

/** Decides what is reserved for a request before it is sent. Pure. */
export const costOfRequest = ({organisation, prompt}: Pick<AdmittedRequest, 'organisation' | 'prompt'>): RequestCost => ({
	budget: organisation?.limit === undefined || prompt === undefined ? undefined : organisation.name,
	worstCase: prompt ? prompt.inputTokens + prompt.maxOutputTokens : 0,
	repeatCost: prompt?.maxOutputTokens ?? 0,
});
