import type {Context} from 'koa';
import getRawBody from 'raw-body';

/** Reads a request's JSON body; an empty body is an empty object. */
export const readJson = async (ctx: Context): Promise<any> => {
	const text = await getRawBody(ctx.req, {encoding: 'utf8', limit: '20mb'});
	return text === '' ? {} : JSON.parse(text);
};
