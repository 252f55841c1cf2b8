import type {LinkAdmission} from './link-admission.js';

/** The admission of a host that does not know the rate of its link: every request is admitted. */
export const unlimitedLink: LinkAdmission = {
	admit: () => ({noteBody: () => undefined, end: () => undefined}),
	logFields: () => undefined,
	close: () => undefined,
};
