import {z} from 'zod';

const stateOfHost = {
	host: z.string(), hall: z.string(), state: z.string(), bundleVersion: z.number(),
};

/** The schema of what a host's operators' interface says of it and the hosts it knows: the fields that the tool uses. */
export const statusViewSchema = z.object({
	...stateOfHost,
	hosts: z.array(z.object({...stateOfHost, heardMsAgo: z.number()})),
});
